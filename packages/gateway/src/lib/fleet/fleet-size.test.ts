import { id } from "@sniperoad/core";
import type { OrganisationId, UpstreamId } from "@sniperoad/core";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { TestFleet } from "../testing/index.js";

/** Two deployments of the kinds that are known, on their busiest days. */
const deployments = {
    44: { zoneCount: 3, requestsPerSecond: 330, upstreamCount: 34, organisationCount: 8 },
    293: { zoneCount: 5, requestsPerSecond: 1_000, upstreamCount: 201, organisationCount: 140 },
} as const;
type FleetSize = keyof typeof deployments;
/** IP and UDP headers. */
const headerBytes = 28;

interface Traffic {
    readonly receivedBytes: number;
    readonly busiestSenderBits: number;
    readonly largestDatagram: number;
    readonly zoneCrossingBytes: number;
}

const nameOf = (kind: string, number: number): string => `${kind}-${number.toString(16).padStart(8, "0")}`;

/** Lets each instance report what its share of the requests causes: usage, requests in flight and outcomes. */
const addRequests = (fleet: TestFleet, size: FleetSize): void => {
    const { requestsPerSecond, upstreamCount, organisationCount } = deployments[size];
    const { random, clock } = fleet;
    const organisations = (count: number) =>
        new Set(Array.from({ length: count }, () => Math.floor(random() ** 1.5 * organisationCount)));
    fleet.instances.forEach(({ payload }) => {
        let sequence = 0;
        let lastMs = clock.monotonicMs();
        payload.next = () => {
            const elapsedMs = clock.monotonicMs() - lastMs;
            lastMs = clock.monotonicMs();
            const own = requestsPerSecond / fleet.instances.length;
            const ended = Math.floor(own * elapsedMs / 1_000 + random());
            const upstream = (): UpstreamId => id<UpstreamId>(nameOf("i", Math.floor(random() * upstreamCount)));
            return {
                usage: [...organisations(Math.ceil(own * 5.5))].map(number => ({
                    organisation: id<OrganisationId>(nameOf("org", number)),
                    admitted: 1,
                    offered: random() < 0.12 ? 1 : 0,
                })),
                inFlight: Array.from({ length: Math.ceil(own * 0.4) }, () => ({ upstream: upstream(), count: 1 })),
                successes: Array.from({ length: ended }, () => ({ upstream: upstream(), count: 1 })),
                outcomes: random() < 0.1 * ended
                    ? [{ sequence: ++sequence, upstream: upstream(), kind: "failure" as const }]
                    : [],
            };
        };
    });
};

const measure = async (count: FleetSize, isBusy: boolean): Promise<Traffic> => {
    const fleet = new TestFleet(deployments[count]);
    fleet.add(count);
    await fleet.clock.advance(4_000);
    if (isBusy) {
        addRequests(fleet, count);
        await fleet.clock.advance(1_000);
    }
    const sent = new Map<string, number>();
    let [receivedBytes, zoneCrossingBytes, largestDatagram] = [0, 0, 0];
    fleet.datagrams.onSend = (from, to, sizeBytes) => {
        const bytes = sizeBytes + headerBytes;
        sent.set(from, (sent.get(from) ?? 0) + bytes);
        receivedBytes += bytes;
        largestDatagram = Math.max(largestDatagram, sizeBytes);
        zoneCrossingBytes += fleet.zoneAt(from) === fleet.zoneAt(to) ? 0 : bytes;
    };
    const seconds = 3;
    await fleet.clock.advance(seconds * 1_000);
    return {
        receivedBytes: receivedBytes / count / seconds,
        busiestSenderBits: Math.max(...sent.values()) * 8 / seconds,
        largestDatagram,
        zoneCrossingBytes: zoneCrossingBytes / seconds,
    };
};

// Guards against an exchange of state that fills the links of a large fleet.
for (const count of [44, 293] as const) {
    for (const isBusy of [false, true]) {
        test(`${count} ${isBusy ? "busy" : "idle"} instances keep within the budget of the exchange`, async () => {
            const traffic = await measure(count, isBusy);
            const text = JSON.stringify(traffic);
            assert.ok(traffic.receivedBytes < 12_000, text);
            assert.ok(traffic.busiestSenderBits < 800_000, text);
            assert.ok(traffic.largestDatagram < 1_400, text);
            assert.ok(traffic.zoneCrossingBytes < 500_000, text);
        });
    }
}

// Guards against failures that become known so late that further requests fail.
test("the first failure of an upstream is known to 293 instances within 200 ms at 1 % loss (p99)", async () => {
    const fleet = new TestFleet(deployments[293]);
    fleet.add(293);
    await fleet.clock.advance(4_000);
    fleet.datagrams.lossRate = 0.01;
    let [late, total] = [0, 0];
    for (let round = 0; round < 10; round++) {
        const origin = fleet.instances[(round * 37) % 293]!;
        const upstream = id<UpstreamId>(nameOf("i", round));
        origin.payload.next = () => ({ outcomes: [{ sequence: round + 1, upstream, kind: "failure" }] });
        fleet.instances.forEach(({ received }) => received.outcomes.length = 0);
        origin.exchange.sendHeartbeatSoon();
        await fleet.clock.advance(200);
        total += fleet.instances.length;
        late += fleet.instances.filter(({ received }) => received.outcomes.length === 0).length;
    }
    assert.ok(late <= total * 0.01, `${late} of ${total} instances do not know it`);
});

test.run();
