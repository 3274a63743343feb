#ifndef GUAVACROSS_STANDIN_LOAD_COMMAND_H_
#define GUAVACROSS_STANDIN_LOAD_COMMAND_H_

namespace guavacross::standin {

/// `guavacross-standin load`: sends an open-loop load to entry instances, or
/// straight to servers, and prints what became of it as JSON.
///
/// Takes the arguments from the command's name on. Returns the exit code: 0
/// unless the flags are wrong (2).
int RunLoadCommand(int argc, char** argv);

}  // namespace guavacross::standin

#endif  // GUAVACROSS_STANDIN_LOAD_COMMAND_H_
