/**
 * Text of a policy section of ordinary size for a service; it differs from change to change.
 *
 * @example
 * const text = sectionText('service-1', 3);
 */
export const sectionText = (service: string, change: number): string => `kind: service
service: ${service}
jobs:
  - match: {prefix: "BUREAU.1987/"}
    rank: default
    retries: ${change % 3}
    deadlineMs: ${1000 + change}
  - match: {exact: "BUREAU.1987/permit renew"}
    rank: default
    idempotent: false
    objective: {goodShare: 0.999, withinMs: 1000}
`;
