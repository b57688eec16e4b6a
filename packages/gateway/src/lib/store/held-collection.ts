/** A collection of the store as an instance holds it. */
import type { LogPort } from "@sniperoad/core";
import type { CollectionListener } from "./collection-reader.js";
import type { Collections } from "./ports.js";
import type { SharedState } from "./state-exchange.js";
import type { SharedCollection } from "./state-messages.js";

/** What a held collection needs of its instance. */
export interface HoldingContext {
    readonly log: LogPort;
    /** Notifies the other instances immediately of the new state of this one. */
    readonly announce: () => void;
    /** Records that the store has just confirmed the held state. */
    readonly confirm: () => void;
    /** Time since the store last confirmed the held state to any reader; undefined: never. */
    readonly confirmedAgeMs: () => number | undefined;
    /** Time for which a newer state than the held one has been known; 0 if there is none. */
    readonly behindMs: () => number;
}

/** Receives a collection from the store or another instance, and provides it to others. */
export interface HeldCollection<Name extends SharedCollection> extends CollectionListener<Collections[Name]> {
    /** 0 before the first state. */
    readonly revision: number;
    /** The value that other instances fetch; undefined if there is none. */
    exportState(): object | undefined;
    /**
     * Applies a state of another instance that is newer than the held one. Returns whether it changed the held one.
     *
     * @throws ZodError if the state is invalid
     */
    importState(state: SharedState): boolean;
}
