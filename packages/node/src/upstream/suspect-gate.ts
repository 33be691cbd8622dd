import type {Quarantine} from '@medlarsaddle/control';
import type {Fault} from '@medlarsaddle/core';
import type {CallRequest} from '@medlarsaddle/wire';
import {fingerprintOf} from './fingerprint-of.js';
import {proxyFaults} from './proxy-faults.js';

/**
 * Runs requests that are suspected of an earlier crash one at a time, so that another crash can be
 * attributed to a single one, and refuses requests that are known to crash upstreams.
 *
 * @example
 * const fault = suspectGate.faultOf(request);
 */
export class SuspectGate {
	/** Creates a gate for the suspects and held requests of a quarantine. */
	static create(quarantine: Quarantine): SuspectGate {
		return new SuspectGate(quarantine);
	}

	private isRunning = false;

	private constructor(private readonly quarantine: Quarantine) {}

	/** Whether a request is a suspect. */
	isSuspect(request: CallRequest): boolean {
		return !this.quarantine.isEmpty && this.quarantine.isSuspect(fingerprintOf(request));
	}

	/** Returns the fault of a request that may not run now; undefined when it may run. */
	faultOf(request: CallRequest): Fault | undefined {
		if (this.quarantine.isEmpty) {
			return undefined;
		}

		if (this.quarantine.isHeld(fingerprintOf(request))) {
			return proxyFaults.quarantined;
		}

		return this.isRunning && this.isSuspect(request) ? proxyFaults.suspectBusy : undefined;
	}

	/** Marks a suspect as running; returns false when another one is running. */
	begin(): boolean {
		if (this.isRunning) {
			return false;
		}

		this.isRunning = true;
		return true;
	}

	/** Marks the running suspect as ended. */
	end(): void {
		this.isRunning = false;
	}
}
