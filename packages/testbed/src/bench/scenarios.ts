import type {Scenario} from './scenario.js';
import {steady} from './steady.js';

/** Every scenario of the bench. */
export const scenarios: readonly Scenario[] = [steady];
