/**
 * Marks a field of a layout whose value is sent without conversion.
 *
 * @example
 * const layout: Layout<UpstreamState> = defineLayout({waitMs: asIs, limit: asIs, heldMs: asIs});
 */
export const asIs = 'as-is';
