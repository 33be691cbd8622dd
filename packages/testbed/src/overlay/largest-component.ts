/**
 * Share of the surviving members that can still reach each other, over edges taken both ways.
 *
 * @example
 * largestComponent(edges, isAlive); // 1
 */
export const largestComponent = (
	edges: readonly number[][],
	isAlive: (member: number) => boolean,
): number => {
	const both: number[][] = edges.map(() => []);
	for (const [from, neighbours] of edges.entries()) {
		for (const to of neighbours) {
			if (isAlive(from) && isAlive(to)) {
				both[from]!.push(to);
				both[to]!.push(from);
			}
		}
	}

	const alive = edges.map((_neighbours, member) => member).filter(member => isAlive(member));
	const seen = new Set<number>();
	let largest = 0;
	for (const start of alive) {
		if (seen.has(start)) {
			continue;
		}

		const open = [start];
		seen.add(start);
		let size = 0;
		while (open.length > 0) {
			size++;
			for (const next of both[open.pop()!]!) {
				if (!seen.has(next)) {
					seen.add(next);
					open.push(next);
				}
			}
		}

		largest = Math.max(largest, size);
	}

	return largest / Math.max(1, alive.length);
};
