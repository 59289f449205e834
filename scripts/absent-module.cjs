// Stands in for optional native parts of libraries, which run without them.
throw new Error('this module is not part of the program');
