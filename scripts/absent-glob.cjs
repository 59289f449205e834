// Replaces fast-glob, which awilix needs only to load modules from files; the router does not use that.
module.exports = {};
