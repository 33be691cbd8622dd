import type {z} from 'zod';
import type {baseSection} from './base-section.js';
import type {routesSection} from './routes-section.js';
import type {serviceSection} from './service-section.js';

/**
 * The validated content of one policy section.
 *
 * @example
 * if (body.kind === 'service') {
 * 	console.log(body.jobs.length);
 * }
 */
export type SectionBody =
	z.infer<typeof baseSection> | z.infer<typeof serviceSection> | z.infer<typeof routesSection>;
