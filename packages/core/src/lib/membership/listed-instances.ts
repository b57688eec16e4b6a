/** Keeps the last instance list from the platform, as evidence that an instance is dead. */
import { instanceName } from "../types.js";
import type { InstanceId } from "../types.js";

/** Number of list intervals for which a list is valid. */
const validListIntervals = 3;

/**
 * Keeps the last list. A fleet that has lost a quorum of its seat holders has no quorum left to exclude them. It
 * recovers only because instances that send no heartbeats and are absent from the list are considered dead.
 */
export class ListedInstances {
    readonly #self: InstanceId;
    readonly #intervalMs: number;
    #listed: ReadonlySet<InstanceId> = new Set();
    #listedMs = -Infinity;

    constructor(self: InstanceId, intervalMs: number) {
        this.#self = self;
        this.#intervalMs = intervalMs;
    }

    update(instances: readonly InstanceId[], nowMs: number): void {
        this.#listed = new Set(instances);
        this.#listedMs = nowMs;
    }

    /**
     * Whether a recent list lacks the instance. A list that also lacks this instance is out of date and counts as no
     * evidence.
     */
    isUnlisted(instance: InstanceId, nowMs: number): boolean {
        const isValid = nowMs - this.#listedMs < validListIntervals * this.#intervalMs && this.#listed.has(this.#self);
        return isValid && !this.#listed.has(instance) && !this.#listed.has(instanceName(instance));
    }
}
