/** The version of the program; equals the version in package.json. */
export const VERSION = "0.1.0";
