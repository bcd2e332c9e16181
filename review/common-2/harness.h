// Stand-ins for the platform's store, its servers and its clients, and control
// of masticproxyd processes. Loopback addresses and the real clock only.
#ifndef REVIEW_COMMON_2_HARNESS_H
#define REVIEW_COMMON_2_HARNESS_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace harness {

using namespace std::chrono_literals;

// Exit codes of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

// ---------------------------------------------------------------- time, record

inline std::chrono::steady_clock::time_point startTime() {
  static const auto Start = std::chrono::steady_clock::now();
  return Start;
}

/// Milliseconds since the start of the case.
inline double nowMs() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - startTime())
      .count();
}

inline void sleepMs(double Ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(Ms));
}

inline void sleepUntilMs(double Ms) { sleepMs(std::max(0.0, Ms - nowMs())); }

/// Writes a line to record.txt, with the time.
inline void record(const char *Format, ...)
    __attribute__((format(printf, 1, 2)));
inline void record(const char *Format, ...) {
  static std::mutex Mutex;
  static FILE *File = std::fopen("record.txt", "w");
  std::lock_guard<std::mutex> Lock(Mutex);
  va_list Arguments;
  va_start(Arguments, Format);
  std::fprintf(File, "%10.1f ms  ", nowMs());
  std::vfprintf(File, Format, Arguments);
  std::fputc('\n', File);
  std::fflush(File);
  va_end(Arguments);
}

[[noreturn]] inline void giveUp(const std::string &Why);

/// Whether the case plays its disruption.
inline bool trouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

// --------------------------------------------------------------------- sockets

inline int listenAnywhere(int &Port) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  if (bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) != 0 ||
      listen(Fd, 512) != 0)
    giveUp("can't listen");
  socklen_t Size = sizeof(Address);
  getsockname(Fd, reinterpret_cast<sockaddr *>(&Address), &Size);
  Port = ntohs(Address.sin_port);
  return Fd;
}

/// \returns a port that was free a moment ago, outside the range from which the
/// system gives ports to outgoing connections.
inline int freePort() {
  static std::atomic<int> Next{
      12000 +
      static_cast<int>((static_cast<unsigned>(getpid()) * 97U) % 15000U)};
  for (int Tries = 0; Tries < 10000; ++Tries) {
    int Port = 12000 + (Next++ - 12000) % 18000;
    int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Address.sin_port = htons(static_cast<std::uint16_t>(Port));
    int Bound =
        bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
    close(Fd);
    if (Bound == 0)
      return Port;
  }
  giveUp("no free port");
}

inline int connectTo(int Port) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  if (connect(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) !=
      0) {
    close(Fd);
    return -1;
  }
  int One = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  return Fd;
}

inline bool sendAll(int Fd, const std::string &Text) {
  std::size_t At = 0;
  while (At < Text.size()) {
    ssize_t Sent = send(Fd, Text.data() + At, Text.size() - At, MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    At += static_cast<std::size_t>(Sent);
  }
  return true;
}

// ------------------------------------------------------------------------ HTTP

/// A request or a response.
struct message {
  std::string FirstLine;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  /// \returns the field \p Name (lower case), or "".
  std::string field(const std::string &Name) const {
    for (const auto &[Key, Value] : Fields)
      if (Key == Name)
        return Value;
    return "";
  }
  int status() const {
    return FirstLine.size() > 12 ? std::atoi(FirstLine.c_str() + 9) : 0;
  }
  std::string method() const {
    return FirstLine.substr(0, FirstLine.find(' '));
  }
  std::string target() const {
    std::size_t From = FirstLine.find(' ') + 1;
    return FirstLine.substr(From, FirstLine.find(' ', From) - From);
  }
};

/// Takes one whole message from \p Buffer, if it is there.
inline std::optional<message> takeMessage(std::string &Buffer) {
  std::size_t End = Buffer.find("\r\n\r\n");
  if (End == std::string::npos)
    return std::nullopt;
  message Message;
  std::istringstream Head(Buffer.substr(0, End));
  std::string Line;
  std::getline(Head, Message.FirstLine);
  if (!Message.FirstLine.empty() && Message.FirstLine.back() == '\r')
    Message.FirstLine.pop_back();
  while (std::getline(Head, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::string Name = Line.substr(0, Colon);
    std::transform(Name.begin(), Name.end(), Name.begin(),
                   [](unsigned char C) { return std::tolower(C); });
    std::size_t From = Line.find_first_not_of(' ', Colon + 1);
    Message.Fields.emplace_back(
        Name, From == std::string::npos ? "" : Line.substr(From));
  }
  std::size_t Length = static_cast<std::size_t>(
      std::atoll(Message.field("content-length").c_str()));
  if (Buffer.size() < End + 4 + Length)
    return std::nullopt;
  Message.Body = Buffer.substr(End + 4, Length);
  Buffer.erase(0, End + 4 + Length);
  return Message;
}

/// Reads until \p Buffer holds a message. \returns nothing at the end of the
/// connection, or after \p TimeoutMs.
inline std::optional<message> readMessage(int Fd, std::string &Buffer,
                                          double TimeoutMs = 1e9) {
  double Latest = nowMs() + TimeoutMs;
  for (;;) {
    if (auto Message = takeMessage(Buffer))
      return Message;
    double Left = Latest - nowMs();
    if (Left <= 0)
      return std::nullopt;
    pollfd Poll{Fd, POLLIN, 0};
    if (poll(&Poll, 1, static_cast<int>(std::min(Left, 1e8)) + 1) == 0)
      return std::nullopt;
    char Bytes[65536];
    ssize_t Got = recv(Fd, Bytes, sizeof(Bytes), 0);
    if (Got <= 0)
      return std::nullopt;
    Buffer.append(Bytes, static_cast<std::size_t>(Got));
  }
}

inline std::string responseText(int Status, const std::string &Fields,
                                const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// Serves connections, each with a thread of its own.
class tcp_server {
public:
  explicit tcp_server(std::function<void(int)> Serve)
      : Serve(std::move(Serve)) {
    Listener = listenAnywhere(Port);
    std::thread([this] {
      for (;;)
        acceptOne();
    }).detach();
  }
  int port() const { return Port; }
  std::string address() const { return "127.0.0.1:" + std::to_string(Port); }

  /// Ends all connections, and refuses new ones for \p PauseMs.
  void crash(double PauseMs) {
    std::lock_guard<std::mutex> Lock(Mutex);
    BackAt = nowMs() + PauseMs;
    shutdown(Listener, SHUT_RDWR);
    for (int Fd : Open)
      shutdown(Fd, SHUT_RDWR);
  }

private:
  void acceptOne() {
    int Fd = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Fd < 0) {
      double Back = 0;
      {
        std::lock_guard<std::mutex> Lock(Mutex);
        Back = BackAt;
        if (Back > nowMs())
          close(Listener);
      }
      if (Back <= nowMs())
        return sleepMs(1);
      sleepUntilMs(Back);
      std::lock_guard<std::mutex> Lock(Mutex);
      Listener = listenAnywhere(Port);
      return;
    }
    int One = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Open.insert(Fd);
    }
    std::thread([this, Fd] {
      Serve(Fd);
      std::lock_guard<std::mutex> Lock(Mutex);
      Open.erase(Fd);
      close(Fd);
    }).detach();
  }

  std::function<void(int)> Serve;
  std::mutex Mutex;
  std::set<int> Open;
  double BackAt = 0;
  int Port = 0;
  int Listener = -1;
};

// ----------------------------------------------------------------------- store

/// The platform's store: lists, watches and conditional writes.
class store {
public:
  store() : Server([this](int Fd) { serve(Fd); }) {}

  std::string address() const { return Server.address(); }

  /// The age of what calls with `serializable` are told.
  std::atomic<int> LagMs{0};

  /// Writes an object. \returns when the write was acknowledged.
  double put(const std::string &Kind, const std::string &Name,
             const std::string &Spec) {
    std::lock_guard<std::mutex> Lock(Mutex);
    write(Kind, Name, Spec, false);
    return nowMs();
  }

  double erase(const std::string &Kind, const std::string &Name) {
    std::lock_guard<std::mutex> Lock(Mutex);
    write(Kind, Name, "", true);
    return nowMs();
  }

  /// Lets each connection that holds back the answer to a linearizable watch of
  /// \p Kind fall silent for good: it stays open, and nothing comes any more.
  unsigned silenceWatches(const std::string &Kind) {
    std::lock_guard<std::mutex> Lock(Mutex);
    unsigned Count = 0;
    for (auto &[Id, Held] : HeldWatches)
      if (Held.Kind == Kind && !Held.MayLag && Held.WaitMs > 1000) {
        Held.Silent = true;
        ++Count;
      }
    return Count;
  }

private:
  struct change {
    std::uint64_t Revision = 0;
    double At = 0;
    std::string Kind, Name, Spec;
    bool Deleted = false;
  };
  struct held_watch {
    std::string Kind;
    bool MayLag = false;
    int WaitMs = 0;
    bool Silent = false;
  };

  void write(const std::string &Kind, const std::string &Name,
             const std::string &Spec, bool Deleted) {
    History.push_back({++Revision, nowMs(), Kind, Name, Spec, Deleted});
    Changed.notify_all();
  }

  /// \returns the revision that a call sees.
  std::uint64_t seen(bool MayLag) const {
    if (!MayLag || LagMs == 0)
      return Revision;
    std::uint64_t Seen = 1;
    for (const change &One : History)
      if (One.At <= nowMs() - LagMs)
        Seen = One.Revision;
    return Seen;
  }

  static std::string objectText(const change &One) {
    return "{\"meta\":{\"name\":\"" + One.Name +
           "\",\"revision\":" + std::to_string(One.Revision) +
           ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" +
           (One.Spec.empty() ? "null" : One.Spec) + ",\"status\":null}";
  }

  std::map<std::string, change> objects(const std::string &Kind,
                                        std::uint64_t UpTo) const {
    std::map<std::string, change> Found;
    for (const change &One : History) {
      if (One.Kind != Kind || One.Revision > UpTo)
        continue;
      if (One.Deleted)
        Found.erase(One.Name);
      else
        Found[One.Name] = One;
    }
    return Found;
  }

  static std::string parameter(const std::string &Target,
                               const std::string &Key) {
    std::size_t At = Target.find('?');
    while (At != std::string::npos) {
      std::size_t End = Target.find('&', At + 1);
      std::string Pair =
          Target.substr(At + 1, End == std::string::npos ? End : End - At - 1);
      if (Pair.rfind(Key + "=", 0) == 0)
        return Pair.substr(Key.size() + 1);
      At = End;
    }
    return "";
  }

  void serve(int Fd) {
    std::string Buffer;
    while (auto Request = readMessage(Fd, Buffer)) {
      std::string Answer = answer(*Request, Fd);
      if (Answer.empty()) {
        // Silent for good: the connection stays open until its other end goes.
        char Byte;
        while (recv(Fd, &Byte, 1, 0) > 0)
          ;
        return;
      }
      if (!sendAll(Fd, Answer))
        return;
    }
  }

  std::string answer(const message &Request, int Fd) {
    std::string Target = Request.target();
    std::string Path = Target.substr(0, Target.find('?'));
    const std::string Prefix = "/v1/objects/";
    if (Path.rfind(Prefix, 0) != 0)
      return responseText(404, "", "{}");
    std::string Kind = Path.substr(Prefix.size());
    std::string Name;
    if (std::size_t Slash = Kind.find('/'); Slash != std::string::npos) {
      Name = Kind.substr(Slash + 1);
      Kind.resize(Slash);
    }
    if (Request.method() != "GET")
      return change_(Request, Kind, Name);
    bool MayLag = parameter(Target, "serializable") == "1";
    std::string Watch = parameter(Target, "watch");
    if (!Watch.empty())
      return watch(Kind, std::stoull(Watch),
                   std::atoi(parameter(Target, "waitMs").c_str()), MayLag, Fd);
    std::lock_guard<std::mutex> Lock(Mutex);
    std::uint64_t Seen = seen(MayLag);
    std::string Items;
    for (const auto &[Key, One] : objects(Kind, Seen))
      Items += (Items.empty() ? "" : ",") + objectText(One);
    return responseText(200, Json,
                        "{\"items\":[" + Items +
                            "],\"hasMore\":false,\"storeRevision\":" +
                            std::to_string(Seen) + "}");
  }

  std::string watch(const std::string &Kind, std::uint64_t After, int WaitMs,
                    bool MayLag, int) {
    double Latest = nowMs() + WaitMs;
    std::unique_lock<std::mutex> Lock(Mutex);
    std::uint64_t Id = ++LastWatch;
    HeldWatches[Id] = {Kind, MayLag, WaitMs, false};
    for (;;) {
      if (HeldWatches[Id].Silent) {
        HeldWatches.erase(Id);
        return "";
      }
      std::uint64_t Seen = seen(MayLag);
      std::string Events;
      for (const change &One : History)
        if (One.Kind == Kind && One.Revision > After && One.Revision <= Seen)
          Events += (Events.empty() ? "" : ",") +
                    ("{\"object\":" + objectText(One) +
                     ",\"deleted\":" + (One.Deleted ? "true" : "false") + "}");
      double Left = Latest - nowMs();
      if (!Events.empty() || Left <= 0) {
        HeldWatches.erase(Id);
        return responseText(200, Json,
                            "{\"events\":[" + Events + "],\"storeRevision\":" +
                                std::to_string(Seen) + "}");
      }
      Changed.wait_for(Lock, std::chrono::duration<double, std::milli>(
                                 std::min(Left, 20.0)));
    }
  }

  static std::string specOf(const std::string &Body) {
    std::size_t At = Body.find("\"spec\":");
    return At == std::string::npos ? "null"
                                   : Body.substr(At + 7, Body.size() - At - 8);
  }

  std::string change_(const message &Request, const std::string &Kind,
                      std::string Name) {
    std::lock_guard<std::mutex> Lock(Mutex);
    const std::string &Body = Request.Body;
    if (Request.method() == "POST") {
      std::size_t From = Body.find("\"name\":\"") + 8;
      Name = Body.substr(From, Body.find('"', From) - From);
    }
    auto Present = objects(Kind, Revision);
    auto Found = Present.find(Name);
    if (Request.method() == "POST" && Found != Present.end())
      return responseText(409, Json, objectText(Found->second));
    if (Request.method() != "POST" && Found == Present.end())
      return responseText(404, Json, "{}");
    std::string Expected = parameter(Request.target(), "revision");
    if (std::size_t At = Body.find("\"revision\":"); At != std::string::npos)
      Expected = std::to_string(std::atoll(Body.c_str() + At + 11));
    if (Found != Present.end() && !Expected.empty() &&
        Expected != std::to_string(Found->second.Revision))
      return responseText(409, Json, objectText(Found->second));
    write(Kind, Name, specOf(Body), Request.method() == "DELETE");
    return responseText(200, Json, objectText(History.back()));
  }

  static constexpr const char *Json = "Content-Type: application/json\r\n";

  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<change> History;
  std::uint64_t Revision = 1;
  std::map<std::uint64_t, held_watch> HeldWatches;
  std::uint64_t LastWatch = 0;
  tcp_server Server;
};

// --------------------------------------------------------------------- servers

/// One server of a service.
class server {
public:
  /// What a server makes of a request that it begins to run.
  using behaviour = std::function<std::string(server &, const message &,
                                              const std::string &)>;

  server(std::string Service, std::string Id, behaviour Run)
      : Service(std::move(Service)), Id(std::move(Id)), Run(std::move(Run)),
        Listener([this](int Fd) { serve(Fd); }) {}

  const std::string Service;

  std::string address() const { return Listener.address(); }

  /// The id of this start of the server.
  std::string id() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Id;
  }

  /// Ends the server; it is back after \p PauseMs, with the id \p NewId.
  void crash(double PauseMs, const std::string &NewId) {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Id = NewId;
    }
    Listener.crash(PauseMs);
  }

  std::string registration(const std::string &State = "ready") const {
    return "{\"service\":\"" + Service + "\",\"address\":\"" + address() +
           "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":"
           "\"" +
           State + "\",\"coldLeftMs\":0,\"sequence\":1,\"born\":1700000000000}";
  }

  std::string stamp(const std::string &Request) const {
    return "s." + id() + "." + Request;
  }

  /// \returns the fields of an answer that the server gives of its own.
  std::string ownFields(const std::string &Request) const {
    return "X-Masticproxy-Request-Id: " + Request +
           "\r\nX-Masticproxy-Server-Stamp: " + stamp(Request) + "\r\n";
  }

private:
  void serve(int Fd) {
    std::string Buffer;
    while (auto Request = readMessage(Fd, Buffer)) {
      std::string RequestId = Request->field("x-masticproxy-request-id");
      std::string Expected = Request->field("x-masticproxy-expected-instance");
      std::string Answer;
      if (!Expected.empty() && Expected != id())
        Answer = responseText(421,
                              "X-Masticproxy-Request-Id: " + RequestId +
                                  "\r\nX-Masticproxy-Not-Executed: 1\r\n",
                              "");
      else
        Answer = Run(*this, *Request, RequestId);
      if (Answer.empty() || !sendAll(Fd, Answer))
        return;
    }
  }

  mutable std::mutex Mutex;
  std::string Id;
  behaviour Run;
  tcp_server Listener;
};

// ------------------------------------------------------------------------- VMs

inline std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    giveUp("can't read " + Path);
  return {std::istreambuf_iterator<char>(File), {}};
}

/// The folder of this run, removed at the end.
inline std::string temporaryFolder() {
  static const std::string Folder = [] {
    char Name[] = "/tmp/masticproxy-review-XXXXXX";
    if (!mkdtemp(Name))
      giveUp("no temporary folder");
    return std::string(Name);
  }();
  return Folder;
}

/// \returns the repository's root, which run.sh names.
inline std::string root() {
  const char *Root = std::getenv("REVIEW_ROOT");
  if (!Root)
    giveUp("REVIEW_ROOT is not set");
  return Root;
}

/// Bounds of a site, in milliseconds; those of kgotla-search if not set.
struct bounds {
  int ConfigApplyMs = 3000;
  int DrainMs = 3000;
  int StableWindowMs = 4000;
};

inline bounds &siteBounds() {
  static bounds Bounds;
  return Bounds;
}

/// One masticproxyd, with the settings of deploy/node.toml.
class vm {
public:
  vm(std::string NewName, const std::string &Store)
      : Name(std::move(NewName)), Front(freePort()), Ready(freePort()) {
    int Peers = freePort();
    std::string Text = readFile(root() + "/deploy/node.toml");
    // A small deployment has neither quotas nor evacuations.
    dropSection(Text, "bounds.quotaWindowS");
    dropSection(Text, "bounds.evacuateMs");
    std::string Here = "127.0.0.1:";
    const std::pair<const char *, std::string> Fields[] = {
        {"nodeName", Name},
        {"zone", "zone-a"},
        {"listenAddrs.front", Here + std::to_string(Front)},
        {"listenAddrs.ready", Here + std::to_string(Ready)},
        {"ip", "127.0.0.1"},
        {"internalPortRange.0", std::to_string(Peers)},
        {"platform.address", Store},
        {"bounds.configApplyMs", std::to_string(siteBounds().ConfigApplyMs)},
        {"bounds.drainMs", std::to_string(siteBounds().DrainMs)},
        {"bounds.stableWindowMs", std::to_string(siteBounds().StableWindowMs)},
        {"bounds.budgetWindowS", "10"}};
    for (const auto &[Key, Value] : Fields) {
      std::string Mark = std::string("{{") + Key + "}}";
      for (std::size_t At; (At = Text.find(Mark)) != std::string::npos;)
        Text.replace(At, Mark.size(), Value);
    }
    if (Text.find("{{") != std::string::npos)
      giveUp("unknown field in deploy/node.toml: " +
             Text.substr(Text.find("{{"), 40));
    File = temporaryFolder() + "/" + Name + ".toml";
    std::ofstream(File) << Text;
  }
  ~vm() { end(); }

  const std::string Name;
  const int Front;
  const int Ready;

  void start() {
    std::string Program = root() + "/target/bin/masticproxyd";
    std::string Log = temporaryFolder() + "/" + Name + ".log";
    Pid = fork();
    if (Pid == 0) {
      ::signal(SIGTERM, SIG_DFL);
      ::signal(SIGINT, SIG_DFL);
      if (chdir(root().c_str()) != 0)
        _exit(127);
      int Out = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Out, 1);
      dup2(Out, 2);
      execl(Program.c_str(), Program.c_str(), "--settings", File.c_str(),
            static_cast<char *>(nullptr));
      _exit(127);
    }
    record("%s starts, pid %d", Name.c_str(), Pid);
  }

  /// Waits until the readiness page says 200.
  void awaitReady(double TimeoutMs = 10000) {
    double Latest = nowMs() + TimeoutMs;
    while (nowMs() < Latest) {
      if (isReady())
        return record("%s is ready", Name.c_str());
      if (!alive())
        giveUp(Name + " ended at its start");
      sleepMs(50);
    }
    giveUp(Name + " does not become ready");
  }

  bool isReady() const {
    int Fd = connectTo(Ready);
    if (Fd < 0)
      return false;
    std::string Buffer;
    sendAll(Fd, "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
    auto Response = readMessage(Fd, Buffer, 1000);
    close(Fd);
    return Response && Response->status() == 200;
  }

  pid_t pid() const { return Pid; }

  bool alive() {
    if (Pid <= 0)
      return false;
    int Status = 0;
    if (waitpid(Pid, &Status, WNOHANG) != Pid)
      return true;
    record("%s has ended, status %d", Name.c_str(), Status);
    Pid = -1;
    return false;
  }

  void signal(int Number) {
    record("signal %d to %s", Number, Name.c_str());
    if (Pid > 0)
      kill(Pid, Number);
  }

  /// Waits for the end of the process, and kills it after \p GraceMs.
  void awaitEnd(double GraceMs) {
    double Latest = nowMs() + GraceMs;
    while (alive() && nowMs() < Latest)
      sleepMs(10);
    end();
  }

  void end() {
    if (Pid <= 0)
      return;
    kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
    Pid = -1;
  }

private:
  static void dropSection(std::string &Text, const std::string &Section) {
    std::string Begin = "{{#" + Section + "}}";
    std::string End = "{{/" + Section + "}}";
    std::size_t From = Text.find(Begin);
    std::size_t Until = Text.find(End);
    if (From != std::string::npos && Until != std::string::npos)
      Text.erase(From, Until + End.size() - From);
  }

  std::string File;
  pid_t Pid = -1;
};

/// All VMs of the case, so that each way out ends them.
inline std::vector<std::unique_ptr<vm>> &allVms() {
  static std::vector<std::unique_ptr<vm>> Vms;
  return Vms;
}

inline void endWithAll(int);

inline vm &addVm(const std::string &Name, const std::string &Store) {
  ::signal(SIGTERM, endWithAll);
  ::signal(SIGINT, endWithAll);
  allVms().push_back(std::make_unique<vm>(Name, Store));
  return *allVms().back();
}

/// Where the case itself is ended, its processes are too.
inline void endWithAll(int) {
  for (auto &Vm : allVms())
    if (Vm->pid() > 0)
      kill(Vm->pid(), SIGKILL);
  _exit(CouldNotRun);
}

/// Ends all processes and the case.
[[noreturn]] inline void leave(int Code) {
  for (auto &Vm : allVms())
    Vm->end();
  std::string Remove = "rm -rf " + temporaryFolder();
  if (std::system(Remove.c_str()) != 0)
    std::fprintf(stderr, "the temporary folder stays\n");
  std::fflush(nullptr);
  _exit(Code);
}

inline void giveUp(const std::string &Why) {
  record("the case can't run: %s", Why.c_str());
  std::printf("can't run: %s\n", Why.c_str());
  leave(CouldNotRun);
}

[[noreturn]] inline void finish(bool Broken, const std::string &What) {
  record("%s: %s", Broken ? "RULE BROKEN" : "rule held", What.c_str());
  std::printf("%s: %s\n", Broken ? "rule broken" : "rule held", What.c_str());
  leave(Broken ? RuleBroken : RuleHeld);
}

/// \returns a request of a client attempt.
inline std::string requestText(const std::string &Method,
                               const std::string &Path, const std::string &Id,
                               int DeadlineMs, const std::string &Body = "",
                               const std::string &Key = "") {
  std::string Text =
      Method + " " + Path + " HTTP/1.1\r\nHost: search.example\r\n" +
      "X-Masticproxy-Request-Id: " + Id +
      "\r\nX-Masticproxy-Deadline-Ms: " + std::to_string(DeadlineMs) + "\r\n";
  if (!Key.empty())
    Text += "X-Masticproxy-Key: " + Key + "\r\n";
  if (!Body.empty())
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + Body;
}

} // namespace harness

#endif
