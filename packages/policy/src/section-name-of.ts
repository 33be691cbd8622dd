import type {SectionBody} from './section-body.js';

/**
 * The name under which a section is stored: that of its service, or its kind when there is only one.
 *
 * @example
 * sectionNameOf({kind: 'service', service: 'payment', spill: false, jobs: []}); // 'payment'
 */
export const sectionNameOf = (body: SectionBody): string =>
	body.kind === 'service' ? body.service : body.kind;
