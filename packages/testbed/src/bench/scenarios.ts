import {churn} from './churn.js';
import {coldStart} from './cold-start.js';
import {crashRequest} from './crash-request.js';
import {cut} from './cut.js';
import {drain} from './drain.js';
import {floodAndSlow} from './flood-and-slow.js';
import {floodLow} from './flood-low.js';
import {floodUrgent} from './flood-urgent.js';
import {freeze} from './freeze.js';
import {fullSize} from './full-size.js';
import {hops} from './hops.js';
import {kill} from './kill.js';
import {lyingLoad} from './lying-load.js';
import {outage} from './outage.js';
import {overlay} from './overlay.js';
import {race} from './race.js';
import {report} from './report.js';
import {retryStorm} from './retry-storm.js';
import type {Scenario} from './scenario.js';
import {silentConnections} from './silent-connections.js';
import {slowDeep} from './slow-deep.js';
import {spread} from './spread.js';
import {steady} from './steady.js';
import {stormAndKill} from './storm-and-kill.js';
import {surge} from './surge.js';

/** Every scenario of the bench. */
export const scenarios: readonly Scenario[] = [
	steady,
	hops,
	surge,
	slowDeep,
	retryStorm,
	floodLow,
	floodUrgent,
	silentConnections,
	crashRequest,
	drain,
	kill,
	freeze,
	lyingLoad,
	coldStart,
	floodAndSlow,
	stormAndKill,
	spread,
	churn,
	cut,
	outage,
	race,
	overlay,
	fullSize,
	report,
];
