import type {Quarantine} from '@medlarsaddle/control';
import type {Fault} from '@medlarsaddle/core';
import type {CallRequest} from '@medlarsaddle/wire';
import {fingerprint} from './fingerprint.js';
import {slotFaults} from './slot-faults.js';

/**
 * Lets suspects of an earlier crash run one at a time, so that another crash names one of them, and
 * holds back what is known to crash upstreams.
 *
 * @example
 * const fault = suspects.refusalOf(request);
 */
export class Suspects {
	/** Creates a gate over the suspects that are known. */
	static create(quarantine: Quarantine): Suspects {
		return new Suspects(quarantine);
	}

	private isRunning = false;

	private constructor(private readonly quarantine: Quarantine) {}

	/** Whether a request is a suspect. */
	includes(request: CallRequest): boolean {
		return !this.quarantine.isEmpty && this.quarantine.isSuspect(fingerprint(request));
	}

	/** Why a request may not run now; undefined when it may. */
	refusalOf(request: CallRequest): Fault | undefined {
		if (this.quarantine.isEmpty) {
			return undefined;
		}

		if (this.quarantine.isHeld(fingerprint(request))) {
			return slotFaults.held;
		}

		return this.isRunning && this.includes(request) ? slotFaults.suspectBusy : undefined;
	}

	/** Notes that a suspect starts; false when another one runs. */
	begin(): boolean {
		if (this.isRunning) {
			return false;
		}

		this.isRunning = true;
		return true;
	}

	/** Notes that the suspect that runs has ended. */
	end(): void {
		this.isRunning = false;
	}
}
