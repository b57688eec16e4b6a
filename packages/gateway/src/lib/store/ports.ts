/** Port to the platform's object store. */
import type { GatewayConfig, ListedUpstream } from "../model.js";

/** What the store holds for the gateway, by collection. */
export interface Collections {
    readonly config: GatewayConfig;
    readonly upstreams: ListedUpstream;
    readonly instances: InstanceRecord;
}

export type CollectionName = keyof Collections;

/** An instance that other instances may contact when none of their seeds answers. */
export interface InstanceRecord {
    readonly name: string;
    readonly peerAddress: string;
}

/** A change of one object. An undefined value means that the object is gone or names nothing usable. */
export interface StoreChange<T> {
    readonly name: string;
    readonly value: T | undefined;
}

/** A whole collection at a revision of the store. */
export interface StoreSnapshot<T> {
    readonly revision: number;
    readonly items: ReadonlyMap<string, T>;
}

/** Changes up to a revision of the store. */
export interface StoreChanges<T> {
    /** Where the next watch starts. It rises with every change of the store, also of other collections. */
    readonly revision: number;
    /** Of the newest change of this collection; `revision` if there is none. */
    readonly changedRevision: number;
    readonly changes: readonly StoreChange<T>[];
}

/**
 * The platform's object store. Each call fails with `StoreUnavailableError` when the store does not answer as it
 * should; a write that failed so may have taken effect, also later.
 */
export interface StorePort {
    /** A whole collection. `mayBeStale` is cheaper and may be seconds old. */
    list<Name extends CollectionName>(
        collection: Name,
        options?: { readonly mayBeStale?: boolean; },
    ): Promise<StoreSnapshot<Collections[Name]>>;
    /**
     * Waits until the collection changes after a revision, at most `waitMs`.
     *
     * @throws HistoryGoneError when the store no longer knows the changes since the revision; list again
     */
    watch<Name extends CollectionName>(
        collection: Name,
        revision: number,
        waitMs: number,
    ): Promise<StoreChanges<Collections[Name]>>;
    /** Writes or replaces the record of an instance. */
    putInstance(record: InstanceRecord): Promise<void>;
    /** Removes the record of an instance; one that does not exist is no error. */
    removeInstance(name: string): Promise<void>;
}
