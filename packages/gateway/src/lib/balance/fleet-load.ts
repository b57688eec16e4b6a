/** Counts the requests in flight at each upstream, from all instances. */
import type { InstanceId, UpstreamId } from "@sniperoad/core";
import type { ReportedInFlight } from "../fleet/heartbeat.js";

/** Requests in flight from one instance. */
export interface LoadReport {
    readonly id: InstanceId;
    /** Rises with each change at the instance; reports may arrive out of order. */
    readonly sequence: number;
    readonly inFlight: readonly ReportedInFlight[];
}

/**
 * Adds the requests in flight from this instance to those that the others last reported.
 *
 * @example
 * const end = load.beginRequest(upstream);
 * load.inFlight(upstream); // 1
 * end();
 */
export class FleetLoad {
    readonly #onChange: () => void;
    readonly #local = new Map<UpstreamId, number>();
    readonly #remote = new Map<UpstreamId, number>();
    readonly #reports = new Map<InstanceId, LoadReport>();
    #sequence = 0;

    /** `onChange` is called when a request of this instance begins or ends. */
    constructor(onChange: () => void = () => {}) {
        this.#onChange = onChange;
    }

    /** Counts a request until the returned function is called. */
    beginRequest(upstream: UpstreamId): () => void {
        this.#change(upstream, 1);
        return () => this.#change(upstream, -1);
    }

    inFlight(upstream: UpstreamId): number {
        return (this.#local.get(upstream) ?? 0) + (this.#remote.get(upstream) ?? 0);
    }

    /** Reports the requests of this instance only. */
    report(): Omit<LoadReport, "id"> {
        return {
            sequence: this.#sequence,
            inFlight: [...this.#local].map(([upstream, count]) => ({ upstream, count })),
        };
    }

    localInFlight(): number {
        return [...this.#local.values()].reduce((sum, count) => sum + count, 0);
    }

    recordReport(report: LoadReport): void {
        const previous = this.#reports.get(report.id);
        if (previous !== undefined && previous.sequence >= report.sequence) {
            return;
        }
        previous?.inFlight.forEach(({ upstream, count }) => add(this.#remote, upstream, -count));
        report.inFlight.forEach(({ upstream, count }) => add(this.#remote, upstream, count));
        this.#reports.set(report.id, report);
    }

    /** Removes the reports of instances that are no longer live. */
    retain(isHeard: (instance: InstanceId) => boolean): void {
        for (const { id, inFlight } of [...this.#reports.values()].filter(report => !isHeard(report.id))) {
            inFlight.forEach(({ upstream, count }) => add(this.#remote, upstream, -count));
            this.#reports.delete(id);
        }
    }

    #change(upstream: UpstreamId, change: number): void {
        this.#sequence++;
        add(this.#local, upstream, change);
        this.#onChange();
    }
}

const add = (counts: Map<UpstreamId, number>, upstream: UpstreamId, change: number): void => {
    const count = (counts.get(upstream) ?? 0) + change;
    if (count <= 0) {
        counts.delete(upstream);
    }
    else {
        counts.set(upstream, count);
    }
};
