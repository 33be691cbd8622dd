/** Number of cohorts into which root requests are divided. */
export const cohortCount = 128;
