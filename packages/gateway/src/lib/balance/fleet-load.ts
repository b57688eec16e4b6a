/** Requests in flight at each upstream, from all instances. */
import type { InstanceId, UpstreamId } from "@sniperoad/core";
import type { ReportedInFlight } from "../fleet/heartbeat.js";

/** What an instance has in flight. */
export interface LoadReport {
    readonly id: InstanceId;
    /** Rises with each change at the instance; a report may arrive after a newer one. */
    readonly sequence: number;
    readonly inFlight: readonly ReportedInFlight[];
}

/**
 * Adds what this instance has in flight to what the others last reported.
 *
 * @example
 * const done = load.begin(upstream);
 * load.inFlight(upstream); // 1
 * done();
 */
export class FleetLoad {
    readonly #onChange: () => void;
    readonly #own = new Map<UpstreamId, number>();
    readonly #others = new Map<UpstreamId, number>();
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
        return (this.#own.get(upstream) ?? 0) + (this.#others.get(upstream) ?? 0);
    }

    /** Requests of this instance alone. */
    report(): Omit<LoadReport, "id"> {
        return {
            sequence: this.#sequence,
            inFlight: [...this.#own].map(([upstream, count]) => ({ upstream, count })),
        };
    }

    localInFlight(): number {
        return [...this.#own.values()].reduce((sum, count) => sum + count, 0);
    }

    recordReport(report: LoadReport): void {
        const former = this.#reports.get(report.id);
        if (former !== undefined && former.sequence >= report.sequence) {
            return;
        }
        former?.inFlight.forEach(({ upstream, count }) => add(this.#others, upstream, -count));
        report.inFlight.forEach(({ upstream, count }) => add(this.#others, upstream, count));
        this.#reports.set(report.id, report);
    }

    /** Forgets the reports of instances that are no longer heard. */
    retain(isHeard: (instance: InstanceId) => boolean): void {
        for (const { id, inFlight } of [...this.#reports.values()].filter(report => !isHeard(report.id))) {
            inFlight.forEach(({ upstream, count }) => add(this.#others, upstream, -count));
            this.#reports.delete(id);
        }
    }

    #change(upstream: UpstreamId, change: number): void {
        this.#sequence++;
        add(this.#own, upstream, change);
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
