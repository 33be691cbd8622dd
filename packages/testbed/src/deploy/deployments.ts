import {hungary} from './hungary.js';
import {luzon} from './luzon.js';

/** The deployments of the brief, by name. */
export const deployments = {hungary, luzon} as const;
