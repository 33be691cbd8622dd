/** Version of the client. */
export const clientVersion = '0.1.0';
