// Stands in for the search of module files, which the program does not use.
module.exports = {};
