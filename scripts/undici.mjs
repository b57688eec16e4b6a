// Replaces undici's index in the bundle. It has only the parts that an instance uses: the index also loads caches, mocks,
// proxies, web sockets and the fetch client, a seventh of the bundle. esbuild fails on a name that is missing here.
import request from "undici/lib/api/api-request.js";
import buildConnector from "undici/lib/core/connect.js";
import Agent from "undici/lib/dispatcher/agent.js";
import Client from "undici/lib/dispatcher/client.js";
import Dispatcher from "undici/lib/dispatcher/dispatcher.js";

Dispatcher.prototype.request = request;

export { Agent, buildConnector, Client };
