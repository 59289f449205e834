/** A small deployment of a site: the store with its rows, servers and routers. */
import { once } from 'node:events';
import { createInterface } from 'node:readline';

import { RowStoreServer } from '@sesamegrade/stand-ins/deployment/row-store-server';

import { HOST, HOT_KEY, KEY } from './client.mjs';
import { Deployment, freePort, startProcess } from './deployment.mjs';
import { Link } from './link.mjs';

export const TENANT = 'hule930';
const SERVER_PROGRAM = 'target/review-3/server.mjs';

/** The classes of the site as routes of a manifest. */
export const ROUTES = {
  streamOnce: {
    name: 'r-resumen-obra',
    prefix: '/resumen/',
    kind: 'streaming',
    service: 'redactor',
    timeoutMs: 15_000,
    goalMs: 1000,
    maxAttempts: 1,
    resumable: false,
    gapTargetMs: 600,
  },
  read: {
    name: 'r-consulta-cobertura',
    prefix: '/consulta/',
    kind: 'idempotent',
    service: 'redactor',
    timeoutMs: 1000,
    goalMs: 150,
    maxAttempts: 2,
  },
  write: {
    name: 'r-registra-garantia',
    prefix: '/registra/',
    kind: 'non_idempotent',
    service: 'registro',
    timeoutMs: 1000,
    goalMs: 150,
    maxAttempts: 1,
  },
};

export function manifestOf(version, routes) {
  return {
    version,
    routes: routes.map(route => ({
      host: HOST,
      priority: 0,
      anonymous: false,
      sticky: false,
      resumable: false,
      ...route,
    })),
    services: [
      { name: 'redactor', healthPath: '/health', maxConns: 832 },
      { name: 'registro', healthPath: '/health', maxConns: 248 },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: [
      { name: TENANT, apiKeys: [KEY] },
      { name: 'wodo417', apiKeys: [HOT_KEY] },
    ],
  };
}

/** A server, whose machine the routers reach through a link. */
export class Server {
  #site;
  #service;
  #real;
  #listeners = new Set();
  starts = 0;

  constructor(site, name, service) {
    this.#site = site;
    this.name = name;
    this.#service = service;
  }

  get instance() {
    return `i-${this.name}-${this.starts}`;
  }

  async open() {
    const { deployment } = this.#site;
    const host = deployment.newHost();
    this.#real = { host, port: await freePort(host) };
    this.address = { host: deployment.newHost(), port: this.#real.port };
    this.link = new Link(this.#real);
    await this.link.listen(this.address);
    await this.start();
    this.register();
  }

  /** Starts the process: a new boot with a new id. */
  async start() {
    this.starts += 1;
    const { host, port } = this.#real;
    this.process = startProcess(
      process.execPath,
      [SERVER_PROGRAM, `${host}:${port}`, this.instance],
      { stdio: ['ignore', 'pipe', 'inherit'] },
    );
    const { instance } = this;
    const lines = createInterface({ input: this.process.stdout });
    const ready = once(lines, 'line');
    lines.on('line', line => {
      this.#site.record.write(`${instance} ${line}`);
      this.#listeners.forEach(listener => listener(line));
    });
    const [line] = await ready;
    this.born = Number(line.split(' ')[1]);
  }

  /** Calls the listener with each thing that the server does. */
  onLine(listener) {
    this.#listeners.add(listener);
  }

  register() {
    const { host, port } = this.address;
    this.#site.store.write('servers', this.instance, {
      service: this.#service,
      address: `${host}:${port}`,
      zone: 'ant-a',
      version: 'v1',
      slots: this.#service === 'redactor' ? 64 : 6,
      state: 'ready',
      warmupMs: 0,
      seq: 1,
      born: this.born,
    });
  }

  /** Resolves when the process has ended. */
  async waitForEnd() {
    if (this.process.exitCode === null && this.process.signalCode === null) {
      await once(this.process, 'exit');
    }
  }

  unregister() {
    this.#site.store.remove('servers', this.instance);
  }

  async kill() {
    const ended = once(this.process, 'exit');
    this.process.kill('SIGKILL');
    await ended;
    this.#site.record.write(`${this.instance} was killed`);
  }
}

/** Starts a store with a manifest, servers and routers. */
export async function startSite(
  record,
  { name = 'sellada-gw', routes, servers, routers },
) {
  const store = await new RowStoreServer().start();
  const deployment = new Deployment(store.address, name);
  const site = { record, store, deployment, servers: [], nodes: [] };
  store.write('op', 'config', manifestOf(7, routes));
  for (const { service, count } of servers) {
    for (let index = 1; index <= count; index += 1) {
      const server = new Server(site, `${service}-${index}`, service);
      await server.open();
      site.servers.push(server);
    }
  }
  site.nodes = await deployment.startRouters(routers);
  record.write(`${routers} routers are ready`);
  return site;
}
