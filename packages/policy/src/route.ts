import type {z} from 'zod';
import type {routesSection} from './routes-section.js';

/**
 * One route: which requests it takes, where they go and on what terms.
 *
 * @example
 * const {targets, timeoutMs} = route;
 */
export type Route = z.infer<typeof routesSection>['routes'][number];
