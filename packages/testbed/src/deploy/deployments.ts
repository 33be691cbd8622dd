import {hungary} from './hungary.js';
import {luzon} from './luzon.js';

/** The simulated deployments, by name. */
export const deployments = {hungary, luzon} as const;
