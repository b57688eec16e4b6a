import { VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { GatewayConfig } from "../model.js";
import { CollectionReader } from "./collection-reader.js";
import type { ListOptions, StorePort, StoreSnapshot } from "./ports.js";

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

test.run();
