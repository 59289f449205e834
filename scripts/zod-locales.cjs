// Replaces zod's index of locales, which loads about fifty, by English alone.
module.exports = {
  en: require('../node_modules/zod/v4/locales/en.cjs').default,
};
