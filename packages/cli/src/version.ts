/** Version of the program, printed by `--version` and reported in the router status. */
export const VERSION = '0.1.0';
