import type {SectionBody} from './section-body.js';

/**
 * Returns the name under which a section is stored: its service, or its kind for a kind of which
 * there is only one section.
 *
 * @example
 * sectionNameOf({kind: 'service', service: 'payment', spill: false, jobs: []}); // 'payment'
 */
export const sectionNameOf = (body: SectionBody): string =>
	body.kind === 'service' ? body.service : body.kind;
