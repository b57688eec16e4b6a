import { test } from "uvu";
import * as assert from "uvu/assert";
import { ParserTurns } from "./parser-turns.js";

const pieceBytes = 4_096;
const bytesPerTurn = 65_536;

/** Connections that parse pieces of 4 kB until they have none left. */
const createConnections = (counts: readonly number[]) => {
    const runs: (() => void)[] = [];
    const turns = new ParserTurns(run => runs.push(run));
    const parsed: number[] = [];
    const connections = counts.map((count, index) => {
        let left = count;
        let overheadBytes = 0;
        const connection = {
            get overheadBytes() {
                return overheadBytes;
            },
            resume(): void {
                while (left > 0 && turns.tryTake(connection)) {
                    left--;
                    overheadBytes += pieceBytes;
                    parsed.push(index);
                    turns.spend(pieceBytes);
                }
            },
        };
        return connection;
    });
    return { turns, connections, parsed, nextTurn: () => runs.shift()?.() };
};

// Guards against a turn of the event loop that lasts as long as all that endless responses have sent.
test("a turn parses no more than its bound, however many connections have bytes", () => {
    const { connections, parsed, nextTurn } = createConnections(Array.from({ length: 100 }, () => 1_000));
    connections.forEach(connection => connection.resume());
    for (let turn = 1; turn < 20; turn++) {
        assert.is(parsed.length, turn * bytesPerTurn / pieceBytes);
        nextTurn();
    }
});

// Guards against ordinary responses that wait until the endless ones before them are given up.
test("a connection with few bytes goes on before those with many", () => {
    const { connections, parsed, nextTurn } = createConnections([1_000, 1_000, 1]);
    connections.forEach(connection => connection.resume());
    assert.not(parsed.includes(2));
    nextTurn();
    assert.ok(parsed.includes(2));
});

// Guards against a connection that takes every turn for itself.
test("connections that wait take turns", () => {
    const { connections, parsed, nextTurn } = createConnections(Array.from({ length: 32 }, () => 1_000));
    connections.forEach(connection => connection.resume());
    nextTurn();
    nextTurn();
    assert.is(new Set(parsed).size, 32);
});

test("a connection that has closed is not resumed", () => {
    const { turns, connections, parsed, nextTurn } = createConnections([1_000, 5]);
    connections.forEach(connection => connection.resume());
    turns.leave(connections[1]!);
    nextTurn();
    assert.not(parsed.includes(1));
});

test.run();
