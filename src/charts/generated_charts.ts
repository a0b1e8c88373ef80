// deno-fmt-ignore-file
/** Generated from charts/*.yaml by `npm run generate`; do not edit. */
export const CHARTS = {
  "endpoint_health": {
    "id": "endpoint_health",
    "initial": "healthy",
    "states": {
      "healthy": {
        "on": {
          "SUCCESS": "healthy",
          "FAILURE": [
            {
              "guard": "tooManyFailures",
              "target": "ejected"
            },
            {
              "target": "healthy"
            }
          ]
        }
      },
      "ejected": {
        "on": {
          "PROBE_DUE": "probing",
          "SUCCESS": "healthy",
          "FAILURE": "ejected"
        }
      },
      "probing": {
        "on": {
          "SUCCESS": "healthy",
          "FAILURE": "ejected"
        }
      }
    }
  },
  "host_lifecycle": {
    "id": "host_lifecycle",
    "initial": "starting",
    "states": {
      "starting": {
        "on": {
          "CONFIGURED": "ready",
          "DRAIN": "leaving",
          "STOP": "stopped"
        }
      },
      "ready": {
        "on": {
          "DRAIN": "leaving",
          "STOP": "stopped"
        }
      },
      "leaving": {
        "on": {
          "GRACE_OVER": "draining",
          "STOP": "stopped"
        }
      },
      "draining": {
        "on": {
          "IDLE": "stopped",
          "TIMEOUT": "stopped",
          "STOP": "stopped"
        }
      },
      "stopped": {
        "type": "final"
      }
    }
  },
  "pipeline_run": {
    "id": "pipeline_run",
    "initial": "admitting",
    "states": {
      "admitting": {
        "on": {
          "ADMITTED": [
            {
              "guard": "needsClaim",
              "target": "claiming"
            },
            {
              "target": "waiting"
            }
          ],
          "REFUSED": [
            {
              "guard": "needsClaim",
              "target": "checking"
            },
            {
              "target": "refused"
            }
          ],
          "ABORTED": [
            {
              "guard": "needsClaim",
              "target": "checking"
            },
            {
              "target": "refused"
            }
          ]
        }
      },
      "checking": {
        "on": {
          "UNUSED": "refused",
          "RECORDED": "replayed",
          "UNCERTAIN": "unknown"
        }
      },
      "claiming": {
        "on": {
          "CLAIMED": "waiting",
          "RECORDED": "replayed",
          "REFUSED": "refused",
          "UNCERTAIN": "unknown"
        }
      },
      "waiting": {
        "on": {
          "GRANTED": "calling",
          "ABORTED": "settling"
        }
      },
      "calling": {
        "on": {
          "STAGE_DONE": [
            {
              "guard": "moreStages",
              "target": "waiting"
            },
            {
              "target": "completed"
            }
          ],
          "RETRY": "waiting",
          "ABORTED": "settling"
        }
      },
      "settling": {
        "always": [
          {
            "guard": "nothingSent",
            "target": "refused"
          },
          {
            "guard": "effectPossible",
            "target": "unknown"
          },
          {
            "target": "failed"
          }
        ]
      },
      "completed": {
        "type": "final"
      },
      "replayed": {
        "type": "final"
      },
      "refused": {
        "type": "final"
      },
      "unknown": {
        "type": "final"
      },
      "failed": {
        "type": "final"
      }
    }
  }
} as const;
