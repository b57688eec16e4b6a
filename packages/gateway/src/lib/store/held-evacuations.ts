/** Applies evacuations from the store or from other instances. */
import type { Evacuation } from "../model.js";
import type { HeldCollection, HoldingContext } from "./held-collection.js";
import type { StoreChanges, StoreSnapshot } from "./ports.js";
import { decodeSharedEvacuations } from "./shared-state.js";
import type { SharedState } from "./state-exchange.js";
import type { EvacuationRegistry } from "./zone-evacuations.js";

/** Maximum wait of a watch; each call is billed, and an evacuation leaves more time than a change of an upstream. */
const maxWatchWaitMs = 2_000;
/** The same as a share of the bound: the rest is for the detection of a silent store and two rounds of new readers. */
const watchWaitShare = 0.4;

/** Wait of a watch of the evacuations, which must be in force within `boundMs`. */
export const evacuationWatchWaitMs = (boundMs: number): number => Math.min(maxWatchWaitMs, boundMs * watchWaitShare);

/**
 * The evacuations of an instance.
 *
 * @example
 * const held = new HeldEvacuations(registry, context);
 * held.onSnapshot(await store.list("evacuations"));
 */
export class HeldEvacuations implements HeldCollection<"evacuations"> {
    readonly #registry: EvacuationRegistry;
    readonly #context: HoldingContext;

    constructor(registry: EvacuationRegistry, context: HoldingContext) {
        this.#registry = registry;
        this.#context = context;
    }

    get revision(): number {
        return this.#registry.revision;
    }

    onSnapshot(snapshot: StoreSnapshot<Evacuation>): void {
        const { announce, confirm } = this.#context;
        if (this.#registry.replace(snapshot, this.#from("store"))) {
            announce();
        }
        confirm();
    }

    onChanges({ changes, changedRevision }: StoreChanges<Evacuation>): void {
        const { announce, confirm } = this.#context;
        if (this.#registry.apply(changes, changedRevision, this.#from("store"))) {
            announce();
        }
        confirm();
    }

    exportState(): object {
        return { evacuations: this.#registry.all() };
    }

    importState({ revision, value }: SharedState): boolean {
        const evacuations = decodeSharedEvacuations(value);
        const items = new Map(evacuations.map(evacuation => [evacuation.zone as string, evacuation]));
        return this.#registry.replace({ revision, items }, this.#from("peer"));
    }

    #from(source: "store" | "peer") {
        const { behindMs, confirmedAgeMs } = this.#context;
        return { source, behindMs: behindMs(), confirmedAgeMs };
    }
}
