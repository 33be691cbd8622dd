import {levels} from './levels.js';

/** Windows that burn is worked out over, in seconds, each with the buckets that it is added up from. */
export const windows = [
	{seconds: 300, level: levels.minutes},
	{seconds: 3600, level: levels.tens},
	{seconds: 21_600, level: levels.hours},
	{seconds: 259_200, level: levels.hours},
] as const;
