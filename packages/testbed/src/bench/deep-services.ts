/** Services at the end of a deployment's call chains. */
export const deepServices: ReadonlySet<string> = new Set(['pitch-map', 'rounds-planning']);
