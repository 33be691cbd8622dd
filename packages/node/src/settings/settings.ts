import type {z} from 'zod';
import type {settingsSchema} from './settings-schema.js';

/**
 * The validated settings of a node.
 *
 * @example
 * const {httpPort} = settings;
 */
export type Settings = z.infer<typeof settingsSchema>;
