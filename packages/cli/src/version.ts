/** Version of the program, shown by `--version` and in status answers. */
export const VERSION = '0.1.0';
