import {basePolicy} from './base-policy.js';
import type {Deployment} from './deployment.js';

/** Tofu Rounds Office in Central Luzon: rounds, permits and orders in three data centres. */
export const luzon: Deployment = {
	name: 'luzon',
	dataCentres: ['luz1', 'luz2', 'luz3'],
	services: [
		{name: 'rounds-planning', endpoints: 4, slots: 40, connections: 360, serviceMs: 180},
		{name: 'permits', endpoints: 3, slots: 60, connections: 440, serviceMs: 300},
		{name: 'orders', endpoints: 3, slots: 60, connections: 440, serviceMs: 240},
		{name: 'price-board', endpoints: 3, slots: 20, connections: 200, serviceMs: 48},
	],
	policy: {
		base: basePolicy,
		'rounds-planning': `kind: service
service: rounds-planning
jobs:
  - match: {prefix: "DTI-III OLD/"}
    rank: normal
    idempotent: true
    retries: 1
    objective: {goodShare: 0.99, withinMs: 1500}
  - match: {exact: "DTI-III OLD/round check"}
    rank: critical
    idempotent: true
    retries: 2
`,
		permits: `kind: service
service: permits
jobs:
  - match: {exact: "BUREAU.1987/permit renew"}
    rank: critical
    idempotent: false
    retries: 3
    deadlineMs: 3000
    objective: {goodShare: 0.999, withinMs: 2000}
  - match: {prefix: "BUREAU.1987/permit check"}
    rank: critical
    idempotent: true
    retries: 1
`,
		orders: `kind: service
service: orders
jobs:
  - match: {prefix: "BUREAU.1987/order"}
    rank: critical
    idempotent: false
    retries: 3
    deadlineMs: 3000
    objective: {goodShare: 0.999, withinMs: 2000}
`,
		'price-board': `kind: service
service: price-board
jobs:
  - match: {pattern: "*board*"}
    rank: background
    idempotent: true
    retries: 1
    deadlineMs: 1000
    objective: {goodShare: 0.95, withinMs: 1000}
`,
	},
	jobs: [
		{
			name: 'send-order',
			rank: 'critical',
			service: 'orders',
			job: 'BUREAU.1987/order send',
			share: 0.15,
			isKeyed: true,
			chain: [{service: 'permits', job: 'BUREAU.1987/permit check'}],
		},
		{
			name: 'renew-permit',
			rank: 'critical',
			service: 'permits',
			job: 'BUREAU.1987/permit renew',
			share: 0.1,
			isKeyed: true,
			chain: [{service: 'rounds-planning', job: 'DTI-III OLD/round check'}],
		},
		{
			name: 'plan-round',
			rank: 'normal',
			service: 'rounds-planning',
			job: 'DTI-III OLD/round plan',
			share: 0.25,
			isKeyed: false,
			chain: [],
		},
		{
			name: 'read-board',
			rank: 'background',
			service: 'price-board',
			job: 'price board/today',
			share: 0.5,
			isKeyed: false,
			chain: [],
		},
	],
};
