import {resolutions} from './resolutions.js';

/**
 * Windows over which burn rates are computed, and the resolution of the buckets that are summed.
 */
export const burnWindows = [
	{seconds: 300, resolution: resolutions.minutes},
	{seconds: 3600, resolution: resolutions.tens},
	{seconds: 21_600, resolution: resolutions.hours},
	{seconds: 259_200, resolution: resolutions.hours},
] as const;
