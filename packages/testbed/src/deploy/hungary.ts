import type {Deployment} from './deployment.js';
import {basePolicy} from './base-policy.js';

/** Hungarian Balloon Sellers' Association: pitch booking in three data centres. */
export const hungary: Deployment = {
	name: 'hungary',
	dataCentres: ['bud1', 'bud2', 'bud3'],
	services: [
		{name: 'pitch-map', endpoints: 4, slots: 60, connections: 470, serviceMs: 120},
		{name: 'reservation', endpoints: 3, slots: 80, connections: 600, serviceMs: 240},
		{name: 'payment', endpoints: 3, slots: 80, connections: 600, serviceMs: 360},
		{name: 'market-rules', endpoints: 3, slots: 20, connections: 230, serviceMs: 60},
	],
	policy: {
		base: basePolicy,
		'pitch-map': `kind: service
service: pitch-map
jobs:
  - match: {prefix: "KERMIN.VASAR/"}
    rank: background
    idempotent: true
    retries: 1
    deadlineMs: 1500
    objective: {goodShare: 0.95, withinMs: 1000}
  - match: {exact: "KERMIN.VASAR/helyfoglalás ellenőrzése"}
    rank: critical
    idempotent: true
    retries: 2
`,
		reservation: `kind: service
service: reservation
jobs:
  - match: {exact: "KERMIN.VASAR/helyfoglalás"}
    rank: critical
    idempotent: false
    retries: 3
    deadlineMs: 3000
    objective: {goodShare: 0.999, withinMs: 2000}
  - match: {pattern: "*visszaigazolás"}
    rank: critical
    idempotent: true
    retries: 1
`,
		payment: `kind: service
service: payment
jobs:
  - match: {prefix: "IPM-1998.DIJ/"}
    rank: critical
    idempotent: false
    retries: 3
    deadlineMs: 3000
    objective: {goodShare: 0.999, withinMs: 2000}
`,
		'market-rules': `kind: service
service: market-rules
jobs:
  - match: {pattern: "*"}
    rank: background
    idempotent: true
    retries: 1
    deadlineMs: 1000
    objective: {goodShare: 0.95, withinMs: 1000}
`,
	},
	jobs: [
		{
			name: 'pay-fee',
			rank: 'critical',
			service: 'payment',
			job: 'IPM-1998.DIJ/befizetés',
			share: 0.1,
			isKeyed: true,
			chain: [{service: 'reservation', job: 'KERMIN.VASAR/visszaigazolás'}],
		},
		{
			name: 'reserve',
			rank: 'critical',
			service: 'reservation',
			job: 'KERMIN.VASAR/helyfoglalás',
			share: 0.2,
			isKeyed: true,
			chain: [{service: 'pitch-map', job: 'KERMIN.VASAR/helyfoglalás ellenőrzése'}],
		},
		{
			name: 'look-up',
			rank: 'background',
			service: 'pitch-map',
			job: 'KERMIN.VASAR/térkép',
			share: 0.5,
			isKeyed: false,
			chain: [],
		},
		{
			name: 'read-rules',
			rank: 'background',
			service: 'market-rules',
			job: 'KERMIN.VASAR/szabályok',
			share: 0.2,
			isKeyed: false,
			chain: [],
		},
	],
};
