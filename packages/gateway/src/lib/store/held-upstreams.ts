/** Applies the upstream list from the store or from other instances. */
import { id } from "@sniperoad/core";
import type { UpstreamId } from "@sniperoad/core";
import { maxUpstreamChanges } from "../fleet/datagrams.js";
import type { UpstreamChange, UpstreamsMessage } from "../fleet/datagrams.js";
import type { ListedUpstream } from "../model.js";
import type { HeldCollection, HoldingContext } from "./held-collection.js";
import type { StoreChange, StoreChanges, StoreSnapshot } from "./ports.js";
import { decodeSharedUpstream, decodeSharedUpstreams } from "./shared-state.js";
import type { SharedState } from "./state-exchange.js";
import type { UpstreamDelta, UpstreamRegistry } from "./upstream-registry.js";

/** Age of the last confirmation above which an outage is assumed; entries of live upstreams may have expired in it. */
const outageThresholdMs = 2_500;

/**
 * The upstream list of an instance.
 *
 * @example
 * const held = new HeldUpstreams(registry, sendToAll, context);
 * held.onSnapshot(await store.list("upstreams"));
 */
export class HeldUpstreams implements HeldCollection<"upstreams"> {
    readonly #registry: UpstreamRegistry;
    readonly #sendToAll: (message: UpstreamsMessage) => void;
    readonly #context: HoldingContext;

    constructor(registry: UpstreamRegistry, sendToAll: (message: UpstreamsMessage) => void, context: HoldingContext) {
        this.#registry = registry;
        this.#sendToAll = sendToAll;
        this.#context = context;
    }

    get revision(): number {
        return this.#registry.revision;
    }

    onSnapshot(snapshot: StoreSnapshot<ListedUpstream>): void {
        const { log, announce, confirm, confirmedAgeMs } = this.#context;
        const isAfterOutage = (confirmedAgeMs() ?? 0) > outageThresholdMs;
        if (this.#registry.replace(snapshot, { isAfterOutage, isFromPeer: false })) {
            const { revision, items } = snapshot;
            log.event("upstreams-listed", { revision, count: items.size, isAfterOutage });
            announce();
        }
        confirm();
    }

    onChanges({ changes, changedRevision }: StoreChanges<ListedUpstream>): void {
        const { announce, confirm } = this.#context;
        if (changes.length > 0 && changedRevision > this.#registry.revision) {
            const delta = { fromRevision: this.#registry.revision, toRevision: changedRevision, changes };
            this.#apply(delta);
            // Without the message, the others fetch the list when they hear of its revision.
            if (changes.length <= maxUpstreamChanges) {
                this.#sendToAll({ kind: "upstreams", ...delta });
            }
            announce();
        }
        confirm();
    }

    /**
     * Applies changes that a reader forwards. Returns false if changes before them are missing.
     *
     * @throws ZodError if a change is invalid
     */
    receive({ fromRevision, toRevision, changes }: UpstreamsMessage): boolean {
        return this.#apply({ fromRevision, toRevision, changes: changes.map(decodeChange) });
    }

    exportState(): object {
        return { upstreams: this.#registry.all() };
    }

    importState({ revision, value }: SharedState): boolean {
        const items = new Map(decodeSharedUpstreams(value).map(listed => [listed.id as string, listed]));
        return this.#registry.replace({ revision, items }, { isAfterOutage: false, isFromPeer: true });
    }

    #apply(delta: UpstreamDelta): boolean {
        const { toRevision, changes } = delta;
        const isNewer = toRevision > this.#registry.revision;
        const isApplied = this.#registry.apply(delta);
        if (isNewer && isApplied) {
            changes.forEach(change => this.#context.log.event("upstream-changed", describeChange(change, toRevision)));
        }
        return isApplied;
    }
}

/** @throws ZodError if the upstream is invalid */
const decodeChange = ({ name, value }: UpstreamChange): StoreChange<ListedUpstream> => ({
    name,
    value: value === undefined ? undefined : decodeSharedUpstream(value),
});

const describeChange = ({ name, value: listed }: StoreChange<ListedUpstream>, revision: number) => ({
    upstream: id<UpstreamId>(name),
    revision,
    state: listed?.state ?? "gone",
    service: listed?.service,
    address: listed?.address,
});
