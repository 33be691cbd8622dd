type Waiting = {
	readonly units: number;
	readonly go: () => void;
};

/** Units of one turn; a received byte counts as one. */
const defaultUnitsPerTurn = 256 * 1024;

/**
 * Bounds the work on received bytes in one turn of the event loop, over all connections that share the
 * budget. A peer that sends without end fills each read again before the last one is decoded, and the
 * loop reads a socket several times in a turn, so a bound for each connection leaves nothing between
 * them. Work beyond the bound goes on in later turns, in the order in which it came.
 *
 * @example
 * const turns = TurnBudget.create();
 * await turns.spend(64 * 1024);
 */
export class TurnBudget {
	/** Creates a budget with this number of units a turn. */
	static create(unitsPerTurn = defaultUnitsPerTurn): TurnBudget {
		return new TurnBudget(unitsPerTurn);
	}

	private spentUnits = 0;
	private isTurnEndScheduled = false;
	private readonly waiting: Waiting[] = [];

	private constructor(private readonly unitsPerTurn: number) {}

	/** Takes units of this turn; false, and takes none, when nothing of it is left. */
	take(units: number): boolean {
		if (this.spentUnits >= this.unitsPerTurn) {
			return false;
		}

		this.spentUnits += units;
		this.scheduleTurnEnd();
		return true;
	}

	/** Calls `go` in the next turn that has units left, and takes these of it. */
	whenFree(units: number, go: () => void): void {
		this.waiting.push({units, go});
		this.scheduleTurnEnd();
	}

	/** Takes units of this turn, or of the next one that has some left. */
	async spend(units: number): Promise<void> {
		if (!this.take(units)) {
			await new Promise<void>(resolve => {
				this.whenFree(units, resolve);
			});
		}
	}

	private scheduleTurnEnd(): void {
		if (!this.isTurnEndScheduled) {
			this.isTurnEndScheduled = true;
			setImmediate(this.startNextTurn);
		}
	}

	private readonly startNextTurn = (): void => {
		this.isTurnEndScheduled = false;
		this.spentUnits = 0;
		while (this.waiting.length > 0 && this.take(this.waiting[0]!.units)) {
			this.waiting.shift()!.go();
		}

		if (this.waiting.length > 0) {
			this.scheduleTurnEnd();
		}
	};
}
