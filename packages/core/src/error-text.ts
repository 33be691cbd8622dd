/**
 * Formats a thrown value of any type as text for a log line.
 *
 * @example
 * log(events.taskFailed, {error: errorText(error)});
 */
export const errorText = (error: unknown): string =>
	error instanceof Error ? `${error.name}: ${error.message}` : String(error);
