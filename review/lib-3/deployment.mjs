/**
 * Starts routers as the platform does: with the command of the deploy file, as a process each, on
 * a loopback address of its own, with settings made from the template of the deploy file.
 */
import { spawn } from 'node:child_process';
import { randomInt } from 'node:crypto';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';

const DEPLOY_FILE = 'deploy/system.toml';
/** Ports that the system does not give to outgoing connections. */
const FIRST_PORT = 12_000;
const LAST_PORT = 31_000;
const READY_TIMEOUT_MS = 20_000;

/** What the sheets of the sites say of a machine and its bounds. */
const SITES = {
  'sellada-gw': {
    limits: { cpuShare: 0.459, cores: 1, memoryMb: 272 },
    bounds: {
      drainMs: 2000,
      graceS: 8,
      configApplyMs: 2000,
      retryRatio: 0.2,
      retryWindowS: 10,
      retrySlack: 126,
    },
  },
  'sellada-gw-grown': {
    limits: { cpuShare: 0.459, cores: 1, memoryMb: 272 },
    bounds: {
      drainMs: 3000,
      graceS: 8,
      configApplyMs: 3000,
      retryRatio: 0.2,
      retryWindowS: 10,
      retrySlack: 291,
    },
  },
};

const children = new Set();

/** Ends every process that this program started. */
export function endAll() {
  for (const child of children) {
    child.kill('SIGCONT');
    child.kill('SIGKILL');
  }
}

/** Starts a process that is ended with this one. */
export function startProcess(command, parameters, options = {}) {
  const child = spawn(command, parameters, options);
  children.add(child);
  child.once('exit', () => children.delete(child));
  return child;
}

function deployValue(text, name) {
  const match = new RegExp(`^${name} = "(.*)"$`, 'mu').exec(text);
  if (!match) {
    throw new Error(`no ${name} in ${DEPLOY_FILE}`);
  }
  return match[1];
}

function fill(template, fields) {
  return template.replaceAll(/\{\{([\w.]+)\}\}/gu, (_, name) => {
    let value = fields;
    for (const part of name.split('.')) {
      value = value?.[part];
    }
    return Array.isArray(value) ? value.join(',') : String(value ?? '');
  });
}

/** Whether nothing listens at an address. */
function isFree(host, port) {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

export async function freePort(host) {
  for (;;) {
    const port = FIRST_PORT + randomInt(LAST_PORT - FIRST_PORT);
    if (await isFree(host, port)) {
      return port;
    }
  }
}

/** The routers of one zone; each machine has an address of its own, and all have the same ports. */
export class Deployment {
  #folder = mkdtempSync(join(tmpdir(), 'review-3-'));
  #network = `127.${1 + randomInt(250)}.${randomInt(250)}`;
  #nextHost = 1;
  #nodes = [];
  #ports;
  #storeAddress;
  #site;

  constructor(storeAddress, site) {
    this.#storeAddress = storeAddress;
    this.#site = SITES[site];
  }

  /** A loopback address that is used by no other machine of this run. */
  newHost() {
    this.#nextHost += 1;
    return `${this.#network}.${this.#nextHost}`;
  }

  async startRouters(count) {
    const [front, ready, control] = [
      await freePort('127.0.0.1'),
      await freePort('127.0.0.1'),
      await freePort('127.0.0.1'),
    ];
    this.#ports = { front, ready, control };
    for (let index = 1; index <= count; index += 1) {
      this.#nodes.push({
        name: `front-ant-a-${index}`,
        host: this.newHost(),
        process: undefined,
        starts: 0,
      });
    }
    for (const node of this.#nodes) {
      this.#start(node);
    }
    await Promise.all(this.#nodes.map(node => this.waitUntilReady(node)));
    return this.#nodes;
  }

  front(node) {
    return { host: node.host, port: this.#ports.front };
  }

  #start(node) {
    const text = readFileSync(DEPLOY_FILE, 'utf8');
    const { host, name } = node;
    const address = port => `${host}:${port}`;
    const fields = {
      node: name,
      zone: 'ant-a',
      listen: {
        front: address(this.#ports.front),
        ready: address(this.#ports.ready),
        control: address(this.#ports.control),
      },
      bootstrap: node.starts === 0,
      limits: this.#site.limits,
      seeds: this.#nodes
        .slice(0, 3)
        .map(other => `${other.host}:${this.#ports.control}`),
      platform: { address: this.#storeAddress },
      bounds: this.#site.bounds,
    };
    const template = readFileSync(deployValue(text, 'template'), 'utf8');
    const file = join(this.#folder, `${name}.ini`);
    writeFileSync(file, fill(template, fields));
    const [command, ...parameters] = fill(
      deployValue(text, 'run'),
      fields,
    ).split(' ');
    node.starts += 1;
    node.log = '';
    node.process = startProcess(command, parameters, {
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        SESAMEGRADE_CONFIG: file,
        SESAMEGRADE_PEER_SECRET: 'review',
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    for (const output of [node.process.stdout, node.process.stderr]) {
      output.on('data', bytes => {
        node.log += bytes.toString();
      });
    }
  }

  /** Starts a machine's process again after it has ended. */
  restart(node) {
    this.#start(node);
  }

  async waitUntilReady(node) {
    const end = Date.now() + READY_TIMEOUT_MS;
    while (!(await this.isReady(node))) {
      if (Date.now() > end) {
        throw new Error(`${node.name} is not ready: ${node.log.slice(-2000)}`);
      }
      await pause(100);
    }
  }

  /** Asks for readiness as the platform does. */
  isReady({ host }) {
    return new Promise(resolve => {
      const request = get(
        { host, port: this.#ports.ready, path: '/ready', timeout: 1000 },
        response => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve(false));
    });
  }

  removeFiles() {
    rmSync(this.#folder, { recursive: true, force: true });
  }
}
