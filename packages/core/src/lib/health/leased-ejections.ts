/** The ejections of one service that an instance holds, each on a lease. */
import { type Decisions, type Ejection, targetKey } from "./messages.js";

interface HeldEjection {
    readonly ejection: Ejection;
    readonly term: string;
    /** When this instance sent the last digest that the home answered with this ejection. */
    readonly confirmedMs: number;
}

/** Keeps the decisions of all homes whose leases still run: after a change of home these may be two. */
export class LeasedEjections {
    readonly #leaseMs: number;
    readonly #held = new Map<string, HeldEjection>();
    readonly #versions = new Map<string, number>();

    constructor(leaseMs: number) {
        this.#leaseMs = leaseMs;
    }

    /**
     * Takes decisions in.
     *
     * @param sentMs When this instance sent the digest that the home answered. Leases count from then: counted from the
     * arrival, a message that was delayed on its way would outlive the home's right to decide.
     */
    accept(decisions: Decisions, sentMs: number): void {
        const { term, version, ejections } = decisions;
        if (version < (this.#versions.get(term) ?? 0)) {
            return;
        }
        if (!this.#versions.has(term) && this.#versions.size >= 8) {
            this.#versions.delete(this.#versions.keys().next().value!);
        }
        this.#versions.set(term, version);
        const named = new Set(ejections.map(targetKey));
        for (const [key, held] of this.#held) {
            if (held.term === term && !named.has(key)) {
                this.#held.delete(key);
            }
        }
        for (const ejection of ejections) {
            const key = targetKey(ejection);
            const confirmedMs = Math.max(sentMs, this.#held.get(key)?.confirmedMs ?? -Infinity);
            this.#held.set(key, { ejection, term, confirmedMs });
        }
    }

    /** The ejections whose leases run, as far as they were confirmed since the given time. */
    current(nowMs: number, sinceMs = -Infinity): readonly Ejection[] {
        for (const [key, { confirmedMs }] of this.#held) {
            if (confirmedMs + this.#leaseMs <= nowMs) {
                this.#held.delete(key);
            }
        }
        return [...this.#held.values()]
            .filter(({ confirmedMs }) => confirmedMs >= sinceMs)
            .map(({ ejection }) => ejection);
    }
}
