// zod's messages in English alone; it loads fifty languages otherwise.
module.exports = {
  en: require('../node_modules/zod/v4/locales/en.cjs').default,
};
