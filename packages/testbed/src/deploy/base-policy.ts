/** Base section of the policy, shared by both deployments. */
export const basePolicy = `kind: base
ranks:
  - name: critical
  - name: normal
    floorShare: 0.05
  - name: background
    floorShare: 0.05
defaults:
  rank: background
  deadlineMs: 1500
`;
