/** What is left to a process that stops. */
export type StopWindow = {
	/** Time until the process ends, in milliseconds. */
	readonly untilEndMs: number;
	/** Whether callers have had time to notice the stop and send their requests elsewhere. */
	readonly isNoticeOver: boolean;
};
