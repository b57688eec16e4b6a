import { VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { GatewayConfig } from "../model.js";
import { CollectionReader } from "./collection-reader.js";
import type { ListOptions, StorePort, StoreSnapshot } from "./ports.js";
import { epochOf, ordinalOf } from "./store-epoch.js";

// Guards against a reader that is replaced, and whose successor begins anew, while a large value arrives.
test("a reader fails when its answer stops arriving, not while it arrives", async () => {
    const clock = new VirtualClock();
    const calls: ListOptions[] = [];
    const store = {
        list: (_collection: string, options: ListOptions): Promise<StoreSnapshot<GatewayConfig>> => {
            calls.push(options);
            return new Promise(() => {});
        },
    } as unknown as StorePort;
    const reader = new CollectionReader({
        collection: "config",
        store,
        clock,
        log: { event: () => {} },
        listener: { onSnapshot: () => {}, onChanges: () => {} },
        recordEpoch: () => true,
        onFailingChange: () => {},
    });
    reader.start();
    for (let arrived = 0; arrived < 20; arrived++) {
        await clock.advance(100);
        calls[0]?.onProgress?.();
    }
    assert.is(reader.state, "starting");
    await clock.advance(1_000);
    assert.is(reader.state, "failing");
    reader.stop();
});

// Guards against a state from before a restore of the store that is applied or confirmed after it.
test("an answer of a former epoch is not passed on, and the collection is listed again", async () => {
    const clock = new VirtualClock();
    const known = { epoch: 0 };
    const passedOn: number[] = [];
    const epochs = [0, 0, 1];
    const store = {
        list: async () => ({ revision: ordinalOf(epochs.shift() ?? 1, 90), items: new Map() }),
        watch: () => new Promise(() => {}),
    } as unknown as StorePort;
    const reader = new CollectionReader({
        collection: "config",
        store,
        clock,
        log: { event: () => {} },
        listener: { onSnapshot: ({ revision }) => passedOn.push(epochOf(revision)), onChanges: () => {} },
        recordEpoch: epoch => epoch >= known.epoch,
        onFailingChange: () => {},
    });
    known.epoch = 1;
    reader.start();
    await clock.advance(1_000);
    assert.equal(passedOn, [1]);
    assert.is(reader.state, "working");
    reader.stop();
});

test.run();
