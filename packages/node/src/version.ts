/** Version of the programs. */
export const version = '0.1.0';
