// Replaces optional native modules of libraries, which fall back to JavaScript without them.
throw new Error('this optional native module is not included in the bundle');
