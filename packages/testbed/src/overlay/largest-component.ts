/**
 * Share of the live members in the largest connected component, with edges taken as undirected.
 *
 * @example
 * largestComponent(edges, isAlive); // 1
 */
export const largestComponent = (
	edges: readonly number[][],
	isAlive: (member: number) => boolean,
): number => {
	const undirected: number[][] = edges.map(() => []);
	for (const [from, neighbours] of edges.entries()) {
		for (const to of neighbours) {
			if (isAlive(from) && isAlive(to)) {
				undirected[from]!.push(to);
				undirected[to]!.push(from);
			}
		}
	}

	const alive = edges.map((_neighbours, member) => member).filter(member => isAlive(member));
	const visited = new Set<number>();
	let largest = 0;
	for (const start of alive) {
		if (visited.has(start)) {
			continue;
		}

		const stack = [start];
		visited.add(start);
		let size = 0;
		while (stack.length > 0) {
			size++;
			for (const next of undirected[stack.pop()!]!) {
				if (!visited.has(next)) {
					visited.add(next);
					stack.push(next);
				}
			}
		}

		largest = Math.max(largest, size);
	}

	return largest / Math.max(1, alive.length);
};
