export type {Section} from './section.js';
export type {SectionBody} from './section-body.js';
export type {Terms} from './terms.js';
export {parseSection} from './parse-section.js';
export {Policy} from './policy.js';
export {policyLimits} from './policy-limits.js';
export {policyWarnings} from './policy-warnings.js';
