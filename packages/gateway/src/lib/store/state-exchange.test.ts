import { id } from "@sniperoad/core";
import type { InstanceId, PeerPort } from "@sniperoad/core";
import { VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { StateExchange } from "./state-exchange.js";
import type { SharedState } from "./state-exchange.js";

const newest: SharedState = { revision: 9, value: "newest" };

/** An instance that holds revision 3 and knows of holders of revision 9, by how they answer. */
const startExchange = (answers: Readonly<Record<string, "silent" | "newest" | "old">>) => {
    const clock = new VirtualClock();
    const held = { revision: 3 };
    const asked: string[] = [];
    const call = (to: InstanceId): Promise<SharedState> =>
        new Promise((resolve, reject) => {
            asked.push(to);
            if (answers[to] === "silent") {
                clock.after(400, () => reject(new Error("no reply")));
            }
            else {
                clock.after(2, () => resolve(answers[to] === "newest" ? newest : { revision: 3, value: "old" }));
            }
        });
    const exchange = new StateExchange({
        peers: { call, handle: () => {}, setAddress: () => {} } as unknown as PeerPort,
        clock,
        random: () => 0,
        log: { event: () => {} },
        read: () => ({ revision: held.revision, value: undefined }),
        heldRevision: () => held.revision,
        accept: (_collection, { revision }) => {
            const isNewer = revision > held.revision;
            held.revision = Math.max(held.revision, revision);
            return isNewer;
        },
        holders: () =>
            Object.keys(answers).map((name, index) => ({
                id: id<InstanceId>(name),
                peerAddress: `10.0.0.${index}:7000`,
                revision: newest.revision,
                isSameZone: index < 3,
            })),
        newestRevision: () => newest.revision,
    });
    return { exchange, clock, held, asked };
};

// Guards against holders that do not answer and are waited for one after the other.
test("a fetch asks further holders while the first ones are silent", async () => {
    const { exchange, clock, held } = startExchange({ a: "silent", b: "silent", c: "silent", d: "newest" });
    exchange.catchUp("config");
    await clock.advance(350);
    assert.is(held.revision, 9);
});

// Guards against transfers that are repeated although the first holder answers.
test("a fetch asks one holder if it answers", async () => {
    const { exchange, clock, held, asked } = startExchange({ a: "newest", b: "newest", c: "newest" });
    exchange.catchUp("config");
    await clock.advance(1_000);
    assert.is(held.revision, 9);
    assert.equal(asked, ["a"]);
});

// Guards against a loop over holders that have less than they stated.
test("a fetch ends after each holder was asked once", async () => {
    const { exchange, clock, held, asked } = startExchange({ a: "old", b: "old", c: "silent" });
    exchange.catchUp("config");
    await clock.advance(2_000);
    assert.is(held.revision, 3);
    assert.equal(asked, ["a", "b", "c"]);
    exchange.catchUp("config");
    await clock.advance(10);
    assert.equal(asked, ["a", "b", "c", "a", "b", "c"]);
});

test.run();
