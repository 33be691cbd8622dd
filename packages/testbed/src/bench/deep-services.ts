/** Services that end the chains of a deployment. */
export const deepServices: ReadonlySet<string> = new Set(['pitch-map', 'rounds-planning']);
